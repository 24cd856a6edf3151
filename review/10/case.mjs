/* eslint camelcase: "off", no-await-in-loop: "off", no-unmodified-loop-condition: "off", no-void: "off" -- names of the platform; steps that follow one another; values that other tasks change */
/** Requests whose prompts share a part that crashes each replica as it begins to write an answer: right after the first event. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	bounds, Client, deploy, play,
} from '../lib-2/stand-ins.mjs';

const REQUESTS = 25;
const PART = '5c1e07a2';
/** The rule counts from `contact_ms` after this crash on. */
const COUNTED_CRASH = 5;
/** More requests than this that reach replicas later break the rule. */
const ALLOWED_REQUESTS = 3;

await play(import.meta.dirname, async play => {
	const {record, hasTrouble} = play;
	const arrivals = [];
	const crashes = [];
	const {entry, replicas} = await deploy(play, {
		routes: [{
			name: 'draft', path_prefix: '/draft/', type: 'streaming', stream_resume: true, target_gap_ms: 120, service: 'drafting',
		}],
		services: {drafting: Array.from({length: 5}, () => ({restartMs: 2500}))},
		onEvent({kind, requestId, replica}) {
			if (kind === 'arrived') {
				arrivals.push({requestId, at: performance.now()});
				record.note(`${requestId} arrived at ${replica}`);
			}
		},
	});
	for (const replica of replicas) {
		replica.onCrash = () => {
			crashes.push(performance.now());
			record.note(`crash ${crashes.length}: replica ${replica.id}; it is back after ${replica.restartMs} ms`);
		};
	}

	for (let i = 0; i < REQUESTS; i += 1) {
		const client = new Client(entry);
		// No two requests are alike but for that part.
		const headers = `X-Model: m\r\nX-Token-Usage: ${600 + i},80\r\nX-Prompt-Prefix: ${PART}:40,${(4096 + i).toString(16)}:${560 + i}\r\n`;
		const answer = await client.request({
			path: `/draft/${i}?answer=${hasTrouble ? 'crash' : 'events'}&events=5&gap=30`, id: `draft-${i}`, deadlineMs: 8000, headers, body: `prompt ${i}`,
		});
		client.close();
		record.note(`draft-${i}: status ${answer.status}, ${answer.end} after ${answer.ms} ms`);
		await sleep(1000);
	}

	record.note(`${crashes.length} crashes`);
	const from = (crashes[COUNTED_CRASH - 1] ?? Infinity) + bounds.contact_ms;
	// A request that arrives this long after that moment was sent after it, too.
	const late = new Set(arrivals.filter(({at}) => at > from + 100).map(({requestId}) => requestId));
	record.note(`${late.size} requests with the part reached replicas later than ${bounds.contact_ms} ms after crash ${COUNTED_CRASH}; ${ALLOWED_REQUESTS} are allowed`);
	return late.size > ALLOWED_REQUESTS;
});
