/* eslint-disable camelcase, no-await-in-loop -- names of the wire; the rules that xo.config.js switches off for TypeScript */
/**
 * The process beside a rank is killed while the group is held for a switch, before it forwards its order to arm. The
 * coordinator then reads that rank's state from another machine, where it is as of 200 ms ago.
 */
import process from 'node:process';
import {
	hasTrouble, runCase, until, wait,
} from '../lib/deployment.mjs';
import {ENGINE, Group} from '../lib/group.mjs';

const RANKS = 12;
const SERVICE = 'mimosa-serve';
const PLAY_MS = 40_000;

/** A process is killed in the switch after this many undisturbed ones. */
const SOUND_SWITCHES = 1;

/** If the rule held after a kill, another follows in a later switch, up to this many. */
const MAX_KILLS = 4;

/** Reports take some ms. The one that the coordinator waits for last takes longer, so that the kill falls before it in each run. */
const REPORT_MS = 2;
const SLOWEST_REPORT_MS = Number(process.env.SLOWEST_REPORT_MS ?? 25);

/** `SIGNAL=SIGTERM` stops the process as planned work does. */
const SIGNAL = process.env.SIGNAL ?? 'SIGKILL';

/** Time from the answered report until the kill, in ms: the report has been passed on by then. */
const KILL_DELAY_MS = Number(process.env.KILL_DELAY_MS ?? 6);

/** Time until the platform starts a killed process again, in ms. */
const RESTART_MS = 1000;

await runCase(import.meta.dirname, async deployment => {
	const agents = [];
	/** Counts the map that the group starts with, too. */
	let switches = -1;
	let kills = 0;
	/** Number of switches from which on the next kill may come. */
	let nextKillAt = SOUND_SWITCHES;
	let lastPrepared;
	const startAgent = rank => {
		agents[rank.rank] = deployment.startRank(30 + rank.rank, SERVICE, rank.address);
		group.agentPids[rank.rank] = agents[rank.rank].pid;
	};

	const killAgent = ({rank}) => {
		kills += 1;
		nextKillAt = Infinity;
		setTimeout(() => {
			deployment.record(`${SIGNAL} to the process beside rank ${rank}`);
			agents[rank].kill(SIGNAL);
			setTimeout(() => {
				if (!isOver) {
					startAgent(group.ranks[rank]);
					nextKillAt = switches + SOUND_SWITCHES;
				}
			}, RESTART_MS);
		}, KILL_DELAY_MS);
	};

	let isOver = false;
	const slowestOf = victim => (victim === 1 ? 2 : 1);
	const group = await Group.create(Array.from({length: RANKS}, (_, rank) => deployment.address(30 + rank)), {
		async beforeReport({rank, isOwn}) {
			const victim = lastPrepared?.rank.rank;
			await wait(isOwn && victim !== undefined && rank.rank === slowestOf(victim) ? SLOWEST_REPORT_MS : REPORT_MS);
		},
		onReport({rank, isOwn}) {
			const isHeldForSwitch = group.ranks[0].held !== undefined && group.ranks[0].armed === undefined;
			if (hasTrouble && kills < MAX_KILLS && switches >= nextKillAt && isOwn && isHeldForSwitch && rank === lastPrepared?.rank) {
				killAgent(rank);
			}
		},
		onPrepared({rank, version, copied}) {
			deployment.record(`rank ${rank.rank} has prepared map ${version}, ${copied} experts copied`);
			if (rank.rank !== 0) {
				lastPrepared = {rank, version};
			}
		},
		onOrder({rank, order, status, isOwn}) {
			if (order.operation !== 'prepare' || status !== 202) {
				deployment.record(`rank ${rank.rank} gets ${order.operation}${order.step === undefined ? '' : ` at step ${order.step}`}${order.version === undefined ? '' : ` of map ${order.version}`} ${isOwn ? 'from its own machine' : 'from another machine'}: ${status}`);
			}
		},
		onPass({step, versions}) {
			if (new Set(versions).size > 1) {
				deployment.record(`BROKEN: pass ${step} begins with maps ${versions.join(' ')}`);
			} else if (versions[0] !== group.lastVersion) {
				group.lastVersion = versions[0];
				switches += 1;
				deployment.record(`pass ${step} begins with map ${versions[0]} on all ranks`);
			}
		},
	});
	deployment.configure(4, [], [{name: SERVICE, max_connections: 188, engine: ENGINE}]);
	for (const rank of group.ranks) {
		deployment.store.put('servers', `i-${String(rank.rank).padStart(2, '0')}`, group.entry(rank, SERVICE));
		startAgent(rank);
	}

	const shifts = setInterval(() => {
		group.shiftDemand();
	}, 4000);
	try {
		await until('the group switches', () => switches >= SOUND_SWITCHES, 30_000);
		const end = Date.now() + PLAY_MS;
		while (Date.now() < end && group.brokenPasses.length < 20) {
			await wait(100);
		}
	} finally {
		isOver = true;
		clearInterval(shifts);
		group.close();
	}

	deployment.record(`switches to one map on all ranks: ${switches}, processes killed: ${kills}, passes that began with different maps: ${group.brokenPasses.length}`);
	return group.brokenPasses.length > 0;
});
