/** The platform's settings: the one place where the names of their keys are mapped to the routing module's terms. */
package crankwick.settings;
