/**
 * Generates load and reports the results. The exit code is 1 if a response had unexpected bytes.
 * Progress is written to standard error when that is a terminal.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {InputError} from '#core';
import {
	DEFAULT_PLAN, formatLoadReport, runLoad, type LoadRecorder, type LoadWorkspace,
} from '#load';

const USAGE = `usage: node target/packages/load/src/bin.js --url URL [--url URL...] [options]

  --url URL              entry or engine to send to; may be repeated (round robin)
  --workspace NAME=KEY[*WEIGHT]  workspace, its key and its weight; may be repeated
  --model NAME           model; may be repeated
  --rate N               requests per second, open loop (default ${DEFAULT_PLAN.rate})
  --count N              requests to send (default ${DEFAULT_PLAN.count}; unlimited with --seconds)
  --seconds N            time to send for
  --seed N               seed of the generator (default ${DEFAULT_PLAN.seed})
  --stream-share S       share of completions that are streamed, 0 to 1
  --booking-share S      share of requests that are bookings
  --booking-path PATH    path of bookings (default /bookings)
  --prompt-chars N       characters of a prompt
  --tokens MIN..MAX      tokens of a response
  --prefixes N           number of shared prompt prefixes
  --prefix-share S       share of prompts with a shared prefix
  --slow-share S         share of streams that are read slowly
  --slow-bytes N         bytes per second of a slow reader
  --hang-up-share S      share of streams whose caller closes the connection
  --drain-seconds N      time to wait for pending requests after the last was sent
  --json                 print the report as JSON
`;

const stringOption = {type: 'string'} as const;
const stringListOption = {type: 'string', multiple: true} as const;
const {values} = parseArgs({
	options: {
		url: stringListOption,
		workspace: stringListOption,
		model: stringListOption,
		rate: stringOption,
		count: stringOption,
		seconds: stringOption,
		seed: stringOption,
		'stream-share': stringOption,
		'booking-share': stringOption,
		'booking-path': stringOption,
		'prompt-chars': stringOption,
		tokens: stringOption,
		prefixes: stringOption,
		'prefix-share': stringOption,
		'slow-share': stringOption,
		'slow-bytes': stringOption,
		'hang-up-share': stringOption,
		'drain-seconds': stringOption,
		json: {type: 'boolean', default: false},
		help: {type: 'boolean', default: false},
	},
});

type NumberName = Exclude<keyof typeof values, 'url' | 'workspace' | 'model' | 'booking-path' | 'tokens' | 'json' | 'help'>;

function readNumber(name: NumberName, fallback: number): number {
	const read = values[name];
	const value = read === undefined ? fallback : Number(read);
	if (Number.isNaN(value) || value < 0) {
		throw new InputError(`--${name}: read ${JSON.stringify(read)}, allowed: a number of at least 0`);
	}

	return value;
}

function readTokens(): {readonly minTokens: number; readonly maxTokens: number} {
	const match = /^(\d+)\.\.(\d+)$/u.exec(values.tokens ?? `${DEFAULT_PLAN.minTokens}..${DEFAULT_PLAN.maxTokens}`);
	if (match === null) {
		throw new InputError(`--tokens: read ${JSON.stringify(values.tokens)}, allowed: MIN..MAX`);
	}

	return {minTokens: Number(match[1]), maxTokens: Number(match[2])};
}

function readWorkspace(read: string): LoadWorkspace {
	const match = /^([^=]+)=([^*]+)(?:\*(\d+))?$/u.exec(read);
	if (match === null) {
		throw new InputError(`--workspace: read ${JSON.stringify(read)}, allowed: NAME=KEY or NAME=KEY*WEIGHT`);
	}

	return {name: match[1] ?? '', key: match[2] ?? '', weight: Number(match[3] ?? 1)};
}

function showProgress(recorder: LoadRecorder, elapsedMs: number): void {
	if (process.stderr.isTTY) {
		const pending = recorder.sent - recorder.ended;
		process.stderr.write(`\r${(elapsedMs / 1000).toFixed(0)} s: ${recorder.sent} sent, ${pending} open, ${recorder.ok} ok, ${recorder.wrong} wrong `);
	}
}

async function main(urls: readonly string[]): Promise<void> {
	const abortController = new AbortController();
	process.once('SIGINT', () => {
		abortController.abort();
	});
	const report = await runLoad({
		urls,
		workspaces: values.workspace?.map(read => readWorkspace(read)) ?? DEFAULT_PLAN.workspaces,
		models: values.model ?? DEFAULT_PLAN.models,
		rate: readNumber('rate', DEFAULT_PLAN.rate),
		count: readNumber('count', values.seconds === undefined ? DEFAULT_PLAN.count : Infinity),
		durationMs: readNumber('seconds', Infinity) * 1000,
		seed: readNumber('seed', DEFAULT_PLAN.seed),
		streamShare: readNumber('stream-share', DEFAULT_PLAN.streamShare),
		bookingShare: readNumber('booking-share', DEFAULT_PLAN.bookingShare),
		bookingPath: values['booking-path'] ?? '/bookings',
		promptChars: readNumber('prompt-chars', DEFAULT_PLAN.promptChars),
		...readTokens(),
		prefixes: readNumber('prefixes', DEFAULT_PLAN.prefixes),
		prefixShare: readNumber('prefix-share', DEFAULT_PLAN.prefixShare),
		slowShare: readNumber('slow-share', DEFAULT_PLAN.slowShare),
		slowBytesPerSecond: readNumber('slow-bytes', DEFAULT_PLAN.slowBytesPerSecond),
		hangUpShare: readNumber('hang-up-share', DEFAULT_PLAN.hangUpShare),
		drainMs: readNumber('drain-seconds', 120) * 1000,
		onProgress: showProgress,
		signal: abortController.signal,
	});
	if (process.stderr.isTTY) {
		process.stderr.write('\n');
	}

	console.log(values.json ? JSON.stringify(report) : formatLoadReport(report));
	process.exitCode = report.wrong > 0 ? 1 : 0;
}

if (values.help) {
	console.log(USAGE);
} else if (values.url === undefined) {
	console.error(USAGE);
	process.exitCode = 2;
} else {
	try {
		await main(values.url);
	} catch (error) {
		if (!(error instanceof InputError)) {
			throw error;
		}

		console.error(error.message);
		process.exitCode = 2;
	}
}
