/**
 * A seeded, deterministic state machine of one group of replicated databases, for simulation and emulation.
 */
package crankwick.model;
