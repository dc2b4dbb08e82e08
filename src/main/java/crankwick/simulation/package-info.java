/**
 * Deterministic simulations: the production broker against modelled groups of databases, with an audit of every step.
 */
package crankwick.simulation;
