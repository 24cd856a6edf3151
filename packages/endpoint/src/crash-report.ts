/**
 * Reports a crash through an entry other than the one that sent the request, because that
 * entry may die before it reports the crash. Fingerprint owners count duplicate reports once.
 */
import {type LinkPool, type MessageOf, type PeerLink} from '#protocol';

/** Topic of requests to entries about suspects. */
const TOPIC = 'suspect';

/** Maximum number of entries tried in turn until one confirms the report. */
const MAX_REPORT_ATTEMPTS = 2;

/** An engine crash that affected one request. */
export type RequestCrash = {
	readonly work: MessageOf<'work'>;
	/** Identical for all requests of the batch. */
	readonly crashId: string;
	readonly alone: boolean;
};

/** Reports a crash through one of the linked entries. @returns False if none confirmed it. */
export async function reportCrashThroughOtherEntry(pool: LinkPool, sender: PeerLink, {work, crashId, alone}: RequestCrash): Promise<boolean> {
	const {requestId, attempt, fingerprint} = work;
	const others = pool.links.filter(link => link.peer.role === 'entry' && link.peer.id !== sender.peer.id);
	for (const link of others.slice(0, MAX_REPORT_ATTEMPTS)) {
		try {
			await pool.ask(link, TOPIC, {
				kind: 'crashed', fingerprint, permitId: `${requestId}/${attempt}`, crashId, alone,
			});
			return true;
		} catch {
			// Try the next entry.
		}
	}

	return false;
}
