/**
 * One group of replicated databases as a state machine by seed, for experiments and emulation.
 */
package crankwick.model;
