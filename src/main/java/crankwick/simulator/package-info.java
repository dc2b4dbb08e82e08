/**
 * Connects the router to the simulator's text protocol; one process hosts many router instances.
 */
package crankwick.simulator;
