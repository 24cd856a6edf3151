/**
 * Messages of the change protocol between the endpoint processes of one group, with
 * their zod schemas. Every message names its group, version, step, epoch and fence.
 */
import {z} from 'zod';

const id = z.string().min(1).max(128);
const count = z.number().int().nonnegative();
const ids = z.array(id).max(1024).readonly();

const header = {
	group: id,
	/** Map version that the message is about; 0 when it is about none. */
	version: count,
	/** Gate step, or the first step of a new epoch; 0 before the gate. */
	step: count,
	epoch: count,
	/** Highest fence that the sender knows. */
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

/** Why a member refuses a message. `fence-unknown` is temporary; the others are final for the change. */
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
	/** Leader to member: load this map. `epoch` is higher than the member's when it is to join the group. */
	z.object({...header, kind: z.literal('map-prepare'), map: mapSchema}),
	z.object({...header, kind: z.literal('map-prepared')}),
	/** Leader to member: hold before `step`. `arbiter` is the endpoint whose engine is released last. */
	z.object({...header, kind: z.literal('map-gate'), arbiter: id}),
	/** The engine holds the gate. `state` is read after the order. */
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
	/** Asks for the engine's state, which the member reads anew. `round` is echoed. */
	z.object({...header, kind: z.literal('map-query'), round: count}),
	/** `state` is absent when the engine does not answer; `arbiter` when the member knows none for its gate. */
	z.object({
		...header, kind: z.literal('map-state'), round: count, state: stateSchema.exactOptional(), arbiter: id.exactOptional(),
	}),
	/** Leave the present epoch for `epoch`, made up of `members`, on map `version` from `step` on. */
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
