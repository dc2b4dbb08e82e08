/**
 * The program: the command line, the configuration files, and the construction and shutdown of the services.
 */
package crankwick.app;
