import t from 'tap';
import {
	createCommand, InvariantError, Kernel, mergeTeardowns,
} from '#core';

type Snapshot = {readonly count: number};
const add = createCommand<number>('add');

await t.test('an update replaces the snapshot, then notifies the listeners once', t => {
	const kernel = Kernel.create<Snapshot>({count: 0});
	const seen: Array<readonly [number, number]> = [];
	kernel.registerUpdateListener((next, prev) => {
		seen.push([next.count, prev.count]);
	});
	kernel.update(prev => ({count: prev.count + 1}));
	kernel.update(prev => prev);
	t.same(seen, [[1, 0]], 'an unchanged snapshot notifies no listener');
	t.end();
});

await t.test('a nested update is rejected, so that no listener sees an incomplete change', t => {
	const kernel = Kernel.create<Snapshot>({count: 0});
	t.throws(() => {
		kernel.update(prev => {
			kernel.update(() => ({count: 9}));
			return prev;
		});
	}, InvariantError);
	t.equal(kernel.snapshot.count, 0);
	t.end();
});

await t.test('a teardown removes only its own registration', t => {
	const kernel = Kernel.create<Snapshot>({count: 0});
	const calls: string[] = [];
	const first = kernel.registerCommand(add, n => {
		calls.push(`first ${n}`);
		return false;
	});
	kernel.registerCommand(add, n => {
		calls.push(`second ${n}`);
		return true;
	});
	t.equal(kernel.dispatch(add, 1), true);
	mergeTeardowns(first)();
	kernel.dispatch(add, 2);
	t.same(calls, ['first 1', 'second 1', 'second 2']);
	t.end();
});
