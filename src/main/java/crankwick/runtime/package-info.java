/** Connects the broker to the sockets: publishes events to it and executes its effects. */
package crankwick.runtime;
