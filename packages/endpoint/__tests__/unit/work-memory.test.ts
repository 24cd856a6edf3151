/** Which work an endpoint has memory for; guards against one that holds the bodies of several entries without a bound. */
import t from 'tap';
import {WorkMemory} from '../../src/work-memory.js';

const KIB = 1024;

type Step
	= | {readonly kind: 'hold'; readonly id: string; readonly bytes: number; readonly fits: boolean}
		| {readonly kind: 'release'; readonly id: string};

const hold = (id: string, kib: number, fits = true): Step => ({
	kind: 'hold', id, bytes: kib * KIB, fits,
});
const release = (id: string): Step => ({kind: 'release', id});

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly heldKib: number}> = [
	{name: 'bodies that fit', steps: [hold('a', 58), hold('b', 58)], heldKib: 100},
	{name: 'one body too many', steps: [hold('a', 58), hold('b', 58), hold('c', 9, false)], heldKib: 100},
	{name: 'a body after another one has ended', steps: [hold('a', 58), hold('b', 58), release('a'), hold('c', 58)], heldKib: 100},
	{name: 'a large body alone', steps: [hold('a', 508)], heldKib: 500},
	{name: 'a large body beside a small one', steps: [hold('a', 9), hold('b', 508, false)], heldKib: 1},
	{name: 'small bodies beside a large one', steps: [hold('a', 508), hold('b', 8), hold('c', 1)], heldKib: 500},
	{name: 'work that ends twice', steps: [hold('a', 58), hold('b', 58), release('a'), release('a')], heldKib: 50},
	{name: 'work that was refused and ends', steps: [hold('a', 508), hold('b', 508, false), release('b')], heldKib: 500},
];

for (const {name, steps, heldKib} of cases) {
	void t.test(name, t => {
		const memory = WorkMemory.create(100 * KIB);
		for (const step of steps) {
			switch (step.kind) {
				case 'hold': {
					t.equal(memory.hold(step.id, step.bytes), step.fits, step.id);
					break;
				}

				case 'release': {
					memory.release(step.id);
				}
			}
		}

		t.equal(memory.heldBytes, heldKib * KIB);
		t.end();
	});
}
