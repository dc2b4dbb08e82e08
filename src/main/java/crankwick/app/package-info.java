/**
 * The program: its command line, its configuration files, and the parts put together and taken down.
 */
package crankwick.app;
