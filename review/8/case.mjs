/* eslint camelcase: "off", no-await-in-loop: "off", no-unmodified-loop-condition: "off", no-void: "off" -- names of the platform; steps that follow one another; values that other tasks change */
/** One answer of a replica in trouble has a body without end, in chunks of one byte. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Client, deploy, play} from '../lib-2/stand-ins.mjs';

const BOOKINGS = 28;
const DEADLINE_MS = 8000;
/** More lost requests than this break the rule. */
const ALLOWED_LOSSES = 3;

await play(import.meta.dirname, async play => {
	const {record, hasTrouble, onEnd} = play;
	const arrived = new Set();
	const {entry} = await deploy(play, {
		routes: [
			{
				name: 'book', path_prefix: '/book/', type: 'non_idempotent', service: 'ledger', max_attempts: 1,
			},
			{
				name: 'draft', path_prefix: '/draft/', type: 'streaming', stream_resume: true, target_gap_ms: 120, service: 'drafting',
			},
		],
		services: {ledger: [{slots: 30}], drafting: [{}]},
		onEvent({kind, requestId, replica}) {
			record.note(`${requestId} ${kind} at ${replica}`);
			if (kind === 'arrived') {
				arrived.add(requestId);
			}
		},
	});
	const clients = Array.from({length: BOOKINGS}, () => new Client(entry));
	onEnd(() => {
		for (const client of clients) {
			client.close();
		}
	});
	const first = await Promise.all(clients.map(async (client, i) => client.request({path: '/book/x?work=20', id: `first-${i}`, deadlineMs: 2500})));
	record.note(`${first.filter(({status}) => status === 200).length} of ${BOOKINGS} bookings answered 200; their connections are kept`);

	const drafter = new Client(entry);
	record.note(`draft-0 sent, answered ${hasTrouble ? 'without end' : 'as usual'}`);
	const draft = drafter.request({
		path: hasTrouble ? '/draft/x?answer=endless-body' : '/draft/x?answer=events&events=28&gap=60', id: 'draft-0', deadlineMs: DEADLINE_MS,
	});
	// Each client books again and again on its connection.
	const until = performance.now() + DEADLINE_MS;
	const answers = await Promise.all(clients.map(async (client, i) => {
		let answer = first[i];
		for (let n = 0; performance.now() < until && answer.end === 'complete'; n += 1) {
			answer = await client.request({path: '/book/x?work=6000', id: `book-${i}-${n}`, deadlineMs: 8000});
		}

		record.note(`${answer.id}: status ${answer.status}, ${answer.end} after ${answer.ms} ms`);
		return answer;
	}));
	const {status, end, ms} = await draft;
	record.note(`draft-0: status ${status}, ${end} after ${ms} ms`);
	drafter.close();
	// The end of a process is told a little later than that of its connections.
	await sleep(500);
	record.note(entry.describe());
	const lost = answers.filter(({id, end}) => end === 'closed' && arrived.has(id));
	record.note(`${lost.length} requests of kept connections were passed on to a sound replica and closed without an answer; ${ALLOWED_LOSSES} are allowed`);
	return lost.length > ALLOWED_LOSSES;
});
