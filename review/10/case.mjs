/* eslint camelcase: "off", no-await-in-loop: "off", no-unmodified-loop-condition: "off", no-void: "off" -- names of the platform; steps that follow one another; values that other tasks change */
/** One answer of a replica in trouble is an event stream whose first event has no end, in chunks of one byte. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Client, deploy, play} from '../lib-2/stand-ins.mjs';

const BOOKINGS = 20;
const ROUTE_TIMEOUT_MS = 1200;
/** Time after the route's timeout by which a request has its final answer. */
const SLACK_MS = 500;

await play(import.meta.dirname, async play => {
	const {record, hasTrouble, onEnd} = play;
	const {entry} = await deploy(play, {
		routes: [
			{
				name: 'book', path_prefix: '/book/', type: 'non_idempotent', service: 'ledger', max_attempts: 1, timeout_ms: ROUTE_TIMEOUT_MS,
			},
			{
				name: 'draft', path_prefix: '/draft/', type: 'streaming', stream_resume: true, target_gap_ms: 120, service: 'drafting',
			},
		],
		services: {ledger: [{slots: 30}], drafting: [{}]},
		onEvent({kind, requestId, replica}) {
			record.note(`${requestId} ${kind} at ${replica}`);
		},
	});
	const clients = Array.from({length: BOOKINGS}, () => new Client(entry));
	const drafter = new Client(entry);
	onEnd(() => {
		for (const client of [...clients, drafter]) {
			client.close();
		}
	});
	record.note(`draft-0 sent, answered ${hasTrouble ? 'without end' : 'as usual'}`);
	const draft = drafter.request({path: hasTrouble ? '/draft/x?answer=endless-event' : '/draft/x?answer=events&events=28&gap=60', id: 'draft-0', deadlineMs: 8000});
	await sleep(100);

	// The clients wait longer than the route's timeout; the work takes a third of it.
	const bookings = [];
	for (const [i, client] of clients.entries()) {
		bookings.push(client.request({path: '/book/x?work=400', id: `book-${i}`, deadlineMs: 6000}));
		await sleep(100);
	}

	const answers = await Promise.all(bookings);
	for (const {id, status, end, ms} of answers) {
		record.note(`${id}: status ${status}, ${end} after ${ms} ms`);
	}

	const {status, end, ms} = await draft;
	record.note(`draft-0: status ${status}, ${end} after ${ms} ms`);
	record.note(entry.describe());
	const lasting = answers.filter(answer => answer.ms > ROUTE_TIMEOUT_MS);
	const late = lasting.filter(answer => answer.ms > ROUTE_TIMEOUT_MS + SLACK_MS);
	record.note(`${lasting.length} of ${BOOKINGS} requests lasted longer than their route's timeout, ${late.length} of them had no final answer ${SLACK_MS} ms after it`);
	return late.length >= 8 && late.length > lasting.length / 4;
});
