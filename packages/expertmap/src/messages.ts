/**
 * Messages of the change protocol between the endpoint processes of one group, and
 * their zod schemas. Every message carries its group, version, step, epoch and fencing token.
 */
import {z} from 'zod';

const id = z.string().min(1).max(128);
const count = z.number().int().nonnegative();
const ids = z.array(id).max(1024).readonly();

const header = {
	group: id,
	/** Map version that the message is about; 0 if none. */
	version: count,
	/** Gate step, or the first step of a new epoch; 0 before the gate. */
	step: count,
	epoch: count,
	/** Highest fencing token that the sender knows. */
	fence: count,
};

const mapSchema = z.object({slots: z.array(z.array(z.array(count).readonly()).readonly()).readonly()});

const stateSchema = z.object({
	epoch: count,
	members: ids,
	step: count,
	mapVersion: count,
	prepared: z.array(count).max(1024).readonly(),
	gate: z.object({version: count, step: count, gone: z.boolean()}).exactOptional(),
	fence: count,
});

/** Reason that a member refuses a message. `fence-unknown`, `engine-down`, `busy` and `not-last` are temporary; the others are final for the change. */
export const refusalReasons = [
	'fence',
	'fence-unknown',
	'epoch',
	'busy',
	'frozen',
	'not-last',
	'engine-down',
	'not-prepared',
	'too-late',
	'no-gate',
	'gone',
] as const;

/** Schema of all `map-*` messages, by `kind`. */
export const mapMessageSchema = z.discriminatedUnion('kind', [
	/** Leader to member: load this map. `epoch` is higher than the member's if it is to join the group. */
	z.object({...header, kind: z.literal('map-prepare'), map: mapSchema}),
	z.object({...header, kind: z.literal('map-prepared')}),
	/** Leader to member: set a gate before `step`. `arbiter` is the endpoint whose engine is released last. */
	z.object({...header, kind: z.literal('map-gate'), arbiter: id}),
	/** The engine has set the gate. */
	z.object({...header, kind: z.literal('map-gated')}),
	z.object({...header, kind: z.literal('map-go')}),
	/** The engine has executed `go`. */
	z.object({...header, kind: z.literal('map-gone')}),
	/** Cancel the gate and drop the version. */
	z.object({...header, kind: z.literal('map-cancel')}),
	/** The engine has confirmed both `cancel` and `drop`. */
	z.object({...header, kind: z.literal('map-cancelled')}),
	z.object({
		...header, kind: z.literal('map-refused'), of: z.enum(['prepare', 'gate', 'go', 'cancel', 'reform']), reason: z.enum(refusalReasons),
	}),
	/** Requests the engine's state, which the member reads for each query. `round` is echoed. */
	z.object({...header, kind: z.literal('map-query'), round: count}),
	/** `state` is absent if the engine does not respond, `arbiter` if the member does not know the arbiter of its gate. */
	z.object({
		...header, kind: z.literal('map-state'), round: count, state: stateSchema.exactOptional(), arbiter: id.exactOptional(),
	}),
	/** Switch from the current epoch to `epoch` with `members`, using map `version`, starting at `step`. */
	z.object({
		...header, kind: z.literal('map-reform'), members: ids, base: ids, initiator: id,
	}),
	z.object({...header, kind: z.literal('map-reformed')}),
]);

/** A message of the change protocol. */
export type MapMessage = Readonly<z.infer<typeof mapMessageSchema>>;

/** The message of one kind. */
export type MapMessageOf<Kind extends MapMessage['kind']> = Extract<MapMessage, {readonly kind: Kind}>;

/** Why a member refuses a message. */
export type RefusalReason = (typeof refusalReasons)[number];
