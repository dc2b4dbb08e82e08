/** Joins the broker to the sockets: events go in, and its effects are carried out. */
package crankwick.runtime;
