/**
 * Experiments in simulated time: the real broker over modelled groups of databases, and an audit of the rules.
 */
package crankwick.simulation;
