/**
 * Decides which work the engine gets and when: the quarantine's gate, the fair queue and
 * the number of requests that run at once. Nothing here has been sent to the engine.
 */
import {
	createConcurrencyLimit, FairQueue, adjustConcurrencyLimit, type ConcurrencyLimit, type QueueItem, type StepSample,
} from '#limits';
import {type MessageOf, type PeerLink} from '#protocol';
import {EndpointAdmission, type CrashedBatch, type RunMode} from '#quarantine';

/** Requests that run at once before the engine's step times are known. */
const INITIAL_RUNNING = 64;
const MIN_RUNNING = 4;
const MAX_RUNNING = 512;

/** More waiting work than this cannot meet a first token within the target at any replica's rate. */
const QUEUE_BOUNDS = {maxItems: 512, maxTokens: 400_000} as const;

/** Work that an entry sent. */
export type Job = QueueItem & {
	readonly link: PeerLink;
	readonly work: MessageOf<'work'>;
};

/** Why work is refused before it ran. */
export type IntakeRefusal = 'endpoint-full' | 'deadline';

export type IntakeOptions = {
	/** Gives a job to the engine. */
	readonly start: (job: Job) => void;
	/** Tells the entry that a job did not run. */
	readonly refuse: (job: Job, reason: IntakeRefusal) => void;
	/** Number of requests that run at once; a plain service has no such bound. */
	readonly bounded: boolean;
};

function modeOf(solo: MessageOf<'work'>['solo']): RunMode {
	switch (solo) {
		case 'shared': {
			return 'normal';
		}

		case 'no-other-suspect': {
			return 'suspect';
		}

		case 'alone': {
			return 'alone';
		}
	}
}

export class Intake {
	static create(options: IntakeOptions): Intake {
		return new Intake(options);
	}

	readonly #options: IntakeOptions;
	readonly #gate = EndpointAdmission.create();
	readonly #queue = FairQueue.create<Job>(QUEUE_BOUNDS);
	readonly #held = new Map<string, Job>();
	#running = 0;
	#capacity: ConcurrencyLimit = createConcurrencyLimit(INITIAL_RUNNING, MIN_RUNNING, MAX_RUNNING);

	private constructor(options: IntakeOptions) {
		this.#options = options;
	}

	/** Tokens that wait. */
	get queuedTokens(): number {
		return this.#queue.tokens;
	}

	/** Jobs that wait or run. */
	get size(): number {
		return this.#queue.size + this.#held.size + this.#running;
	}

	/** Jobs that may run at once. */
	get limit(): number {
		return this.#options.bounded ? Math.floor(this.#capacity.limit) : Number.POSITIVE_INFINITY;
	}

	/**
	 * Takes a job or refuses it.
	 *
	 * @returns True if the job was taken: it is started, or refused later if its deadline passes or others displace it.
	 */
	offer(job: Job, now: number): boolean {
		const outcome = this.#gate.offer(job.id, modeOf(job.work.solo));
		switch (outcome.kind) {
			case 'refused': {
				this.#options.refuse(job, outcome.reason);
				return false;
			}

			case 'hold': {
				this.#held.set(job.id, job);
				return true;
			}

			case 'start': {
				return this.#enqueue(job, now);
			}
		}
	}

	/** Removes a job that has not been started, because its caller hung up. */
	remove(id: string, now: number): Job | undefined {
		const job = this.#queue.remove(id) ?? this.#held.get(id);
		if (job !== undefined) {
			this.#held.delete(id);
			this.#leave(id, now);
		}

		return job;
	}

	/** Notes that a job which was started has ended. */
	finished(id: string, now: number): void {
		this.#running -= 1;
		this.#leave(id, now);
		this.pump(now);
	}

	/** Notes a crash of the engine; the jobs that were started end through `finished`. */
	crashed(now: number): CrashedBatch {
		const batch = this.#gate.recordCrash();
		const waiting = [...this.#queue.drain(), ...this.#held.values()];
		this.#held.clear();
		for (const job of waiting) {
			this.#options.refuse(job, 'endpoint-full');
		}

		this.pump(now);
		return batch;
	}

	/** Takes a sample of the engine's step time and starts what fits. */
	sample(sample: StepSample, now: number): void {
		this.#capacity = adjustConcurrencyLimit(this.#capacity, sample, now);
		this.pump(now);
	}

	/** Starts waiting jobs while there is room, and refuses those whose deadline has passed. */
	pump(now: number): void {
		while (this.#running < this.limit) {
			const {item, expired} = this.#queue.take(now);
			this.#expire(expired, now);
			if (item === undefined) {
				return;
			}

			this.#running += 1;
			this.#gate.markStarted(item.id);
			this.#options.start(item);
		}

		this.#expire(this.#queue.expire(now), now);
	}

	#expire(jobs: readonly Job[], now: number): void {
		for (const job of jobs) {
			this.#options.refuse(job, 'deadline');
			this.#leave(job.id, now);
		}
	}

	#enqueue(job: Job, now: number): boolean {
		const offer = this.#queue.offer(job, now);
		if (offer.kind === 'refused') {
			this.#options.refuse(job, offer.reason === 'deadline' ? 'deadline' : 'endpoint-full');
			this.#leave(job.id, now);
			return false;
		}

		for (const displaced of offer.displaced) {
			this.#options.refuse(displaced, 'endpoint-full');
			this.#leave(displaced.id, now);
		}

		return true;
	}

	/** Lets the gate forget a job, and takes in the one that waited to run alone. */
	#leave(id: string, now: number): void {
		const next = this.#gate.finish(id);
		const job = next === undefined ? undefined : this.#held.get(next);
		if (job !== undefined) {
			this.#held.delete(job.id);
			this.#enqueue(job, now);
			this.pump(now);
		}
	}
}
