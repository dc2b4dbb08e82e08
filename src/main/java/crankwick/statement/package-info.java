/**
 * The hints that a statement carries in its leading comment.
 */
package crankwick.statement;
