/** Schemas for validating the platform's responses. */
import {z} from 'zod';

/** Decimal string; only the platform itself compares versions for order, all others only for equality. */
export const resourceVersionSchema = z.string().regex(/^\d+$/);

/** One object. */
export const objectSchema = z.object({
	name: z.string().min(1),
	resourceVersion: resourceVersionSchema,
	value: z.unknown(),
});

/** List of the objects with a prefix. */
export const listSchema = z.object({
	resourceVersion: resourceVersionSchema,
	items: z.array(objectSchema),
});

/** One item of the instance list. */
export const instanceSchema = z.object({
	id: z.string().min(1),
	role: z.string(),
	kind: z.string(),
	address: z.string(),
	zone: z.string(),
	region: z.string(),
	group: z.string().optional(),
	ranks: z.array(z.number().int().nonnegative()).optional(),
	models: z.array(z.string()).optional(),
	service: z.string().optional(),
	state: z.enum(['live', 'leaving']),
});

/** Instance list. */
export const instancesSchema = z.object({resourceVersion: resourceVersionSchema, items: z.array(instanceSchema)});

/** One line of a watch. */
export const watchLineSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('ADDED'), object: objectSchema}),
	z.object({type: z.literal('MODIFIED'), object: objectSchema}),
	z.object({type: z.literal('DELETED'), object: objectSchema}),
	z.object({type: z.literal('BOOKMARK'), object: z.object({resourceVersion: resourceVersionSchema})}),
	z.object({type: z.literal('ERROR'), object: z.object({code: z.number().int(), message: z.string().optional()})}),
]);

/** One instance as shown in the platform's list, which may be outdated. */
export type Instance = Readonly<z.infer<typeof instanceSchema>>;

/** Instance list with its version; a higher version is newer. */
export type InstanceListing = Readonly<z.infer<typeof instancesSchema>>;
