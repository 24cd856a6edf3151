/** The demo is a program, `run-demo.ts`; it has no public interface. */

