/**
 * Schedules work for the engine: the quarantine's gate, the fair queue and the concurrency
 * limit. Waiting work has not been sent to the engine.
 */
import {
	createConcurrencyLimit, FairQueue, adjustConcurrencyLimit, type ConcurrencyLimit, type QueueItem, type StepSample,
} from '#limits';
import {type MessageOf, type PeerLink} from '#protocol';
import {EndpointAdmission, type CrashedBatch, type RunMode} from '#quarantine';

/** Concurrency limit until the engine's step times are known. */
const INITIAL_CONCURRENCY = 64;
const MIN_CONCURRENCY = 4;
const MAX_CONCURRENCY = 512;

/** Queue limits. With more waiting work, no replica is fast enough to generate the first token within the target time. */
const QUEUE_BOUNDS = {maxItems: 512, maxTokens: 400_000} as const;

/** Work received from an entry. */
export type Job = QueueItem & {
	readonly link: PeerLink;
	readonly work: MessageOf<'work'>;
};

/** Reasons for refusing work before it has run. */
export type SchedulerRefusal = 'endpoint-full' | 'deadline';

export type WorkSchedulerOptions = {
	/** Sends a job to the engine. */
	readonly start: (job: Job) => void;
	/** Notifies the entry that a job did not run. */
	readonly refuse: (job: Job, reason: SchedulerRefusal) => void;
	/** Whether the number of concurrent requests is limited; it is not for a plain service. */
	readonly isConcurrencyLimited: boolean;
};

function toRunMode(solo: MessageOf<'work'>['solo']): RunMode {
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

export class WorkScheduler {
	static create(options: WorkSchedulerOptions): WorkScheduler {
		return new WorkScheduler(options);
	}

	readonly #options: WorkSchedulerOptions;
	readonly #gate = EndpointAdmission.create();
	readonly #queue = FairQueue.create<Job>(QUEUE_BOUNDS);
	readonly #heldJobs = new Map<string, Job>();
	#running = 0;
	#capacity: ConcurrencyLimit = createConcurrencyLimit(INITIAL_CONCURRENCY, MIN_CONCURRENCY, MAX_CONCURRENCY);

	private constructor(options: WorkSchedulerOptions) {
		this.#options = options;
	}

	/** Tokens of the queued jobs. */
	get queuedTokens(): number {
		return this.#queue.tokens;
	}

	/** Number of jobs that are waiting or running. */
	get size(): number {
		return this.#queue.size + this.#heldJobs.size + this.#running;
	}

	/** Maximum number of jobs that run concurrently. */
	get concurrencyLimit(): number {
		return this.#options.isConcurrencyLimited ? Math.floor(this.#capacity.limit) : Number.POSITIVE_INFINITY;
	}

	/**
	 * Accepts or refuses a job.
	 *
	 * @returns True if the job was accepted: it is started, or refused later if its deadline passes, other jobs displace it or the engine crashes.
	 */
	submit(job: Job, now: number): boolean {
		const result = this.#gate.offer(job.id, toRunMode(job.work.solo));
		switch (result.kind) {
			case 'refused': {
				this.#options.refuse(job, result.reason);
				return false;
			}

			case 'hold': {
				this.#heldJobs.set(job.id, job);
				return true;
			}

			case 'start': {
				return this.#enqueue(job, now);
			}
		}
	}

	/** Removes a job that has not been started, because it was cancelled. */
	remove(id: string, now: number): Job | undefined {
		const job = this.#queue.remove(id) ?? this.#heldJobs.get(id);
		if (job !== undefined) {
			this.#heldJobs.delete(id);
			this.#releaseGate(id, now);
		}

		return job;
	}

	/** Handles the end of a job that was started. */
	onFinished(id: string, now: number): void {
		this.#running -= 1;
		this.#releaseGate(id, now);
		this.startReady(now);
	}

	/** Handles a crash of the engine: refuses all waiting jobs. Running jobs end through `onFinished`. */
	onEngineCrash(now: number): CrashedBatch {
		const batch = this.#gate.recordCrash();
		const waiting = [...this.#queue.drain(), ...this.#heldJobs.values()];
		this.#heldJobs.clear();
		for (const job of waiting) {
			this.#options.refuse(job, 'endpoint-full');
		}

		this.startReady(now);
		return batch;
	}

	/** Updates the concurrency limit with a sample of the engine's step time and starts the jobs that fit. */
	addSample(sample: StepSample, now: number): void {
		this.#capacity = adjustConcurrencyLimit(this.#capacity, sample, now);
		this.startReady(now);
	}

	/** Starts waiting jobs up to the concurrency limit, and refuses those whose deadline has passed. */
	startReady(now: number): void {
		while (this.#running < this.concurrencyLimit) {
			const {item, expired} = this.#queue.take(now);
			this.#refuseExpired(expired, now);
			if (item === undefined) {
				return;
			}

			this.#running += 1;
			this.#gate.markStarted(item.id);
			this.#options.start(item);
		}

		this.#refuseExpired(this.#queue.expire(now), now);
	}

	#refuseExpired(jobs: readonly Job[], now: number): void {
		for (const job of jobs) {
			this.#options.refuse(job, 'deadline');
			this.#releaseGate(job.id, now);
		}
	}

	#enqueue(job: Job, now: number): boolean {
		const offer = this.#queue.offer(job, now);
		if (offer.kind === 'refused') {
			this.#options.refuse(job, offer.reason === 'deadline' ? 'deadline' : 'endpoint-full');
			this.#releaseGate(job.id, now);
			return false;
		}

		for (const displaced of offer.displaced) {
			this.#options.refuse(displaced, 'endpoint-full');
			this.#releaseGate(displaced.id, now);
		}

		return true;
	}

	/** Removes a job from the gate, and enqueues the held job that may run next. */
	#releaseGate(id: string, now: number): void {
		const next = this.#gate.finish(id);
		const job = next === undefined ? undefined : this.#heldJobs.get(next);
		if (job !== undefined) {
			this.#heldJobs.delete(job.id);
			this.#enqueue(job, now);
			this.startReady(now);
		}
	}
}
