/**
 * The decision module on the simulator's text protocol, many instances in one process.
 */
package crankwick.simulator;
