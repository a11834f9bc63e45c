/** Runtime checks of the most important invariants, which count their violations. */
package tinworks.invariant;
