/** Runs the TypeScript examples of the pages against the built package; guards against examples that call what does not exist. */
import {spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import t from 'tap';
import ts from 'typescript';

const pages = ['README.md'] as const;

for (const page of pages) {
	const examples = [...readFileSync(page, 'utf8').matchAll(/^```ts\n(?<code>.*?)^```$/gmsu)].map(match => match.groups!.code!);
	await t.test(page, t => {
		t.ok(examples.length > 0, 'has examples');
		for (const [i, example] of examples.entries()) {
			const {outputText} = ts.transpileModule(example, {compilerOptions: {module: ts.ModuleKind.ESNext, target: ts.ScriptTarget.ES2022}});
			const {status, stderr} = spawnSync(process.execPath, ['--input-type=module', '--eval', outputText], {encoding: 'utf8'});
			t.equal(status, 0, `example ${i + 1}: ${stderr}`);
		}

		t.end();
	});
}
