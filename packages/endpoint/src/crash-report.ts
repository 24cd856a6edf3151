/**
 * Reports a crash through an entry other than the one that sent the request, because that
 * entry may die before it reports it. Homes count a crash once, whoever reports it.
 */
import {type LinkPool, type MessageOf, type PeerLink} from '#protocol';

/** Topic on which entries take questions about suspects. */
const TOPIC = 'suspect';

/** Entries asked one after another until one confirms the report. */
const MAX_REPORTERS = 2;

/** A crash that hit one request. */
export type CrashOfRequest = {
	readonly work: MessageOf<'work'>;
	/** The same for all requests of the batch. */
	readonly crashId: string;
	readonly alone: boolean;
};

/** Reports a crash through one of the linked entries. @returns False if none confirmed it. */
export async function reportElsewhere(pool: LinkPool, sender: PeerLink, {work, crashId, alone}: CrashOfRequest): Promise<boolean> {
	const {requestId, attempt, fingerprint} = work;
	const others = pool.links.filter(link => link.peer.role === 'entry' && link.peer.id !== sender.peer.id);
	for (const link of others.slice(0, MAX_REPORTERS)) {
		try {
			await pool.ask(link, TOPIC, {
				kind: 'crashed', fingerprint, permitId: `${requestId}/${attempt}`, crashId, alone,
			});
			return true;
		} catch {
			// The next entry is asked.
		}
	}

	return false;
}
