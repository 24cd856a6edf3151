/** Parsing of the body of `POST /v1/orders`. */
import {z} from 'zod';
import {InputError} from '#core';
import type {EngineOrder} from '#expertmap';

const count = z.int().nonnegative();
const fields = {version: count, epoch: count.optional(), fence: count};
const slots = z.array(z.array(z.array(count)));

const orderSchema = z.discriminatedUnion('order', [
	z.object({...fields, order: z.literal('prepare'), map: z.object({slots})}),
	z.object({...fields, order: z.enum(['gate', 'go', 'cancel']), step: count}),
	z.object({...fields, order: z.literal('drop')}),
	z.object({
		...fields, order: z.literal('reform'), step: count, members: z.array(z.string().min(1)).min(1),
	}),
]);

/**
 * Reads an order.
 *
 * @param epoch - Epoch of an order that names none: that of the engine.
 * @throws InputError when the body is not an order.
 */
export function parseOrder(body: unknown, epoch: number): EngineOrder {
	const parsed = orderSchema.safeParse(body);
	if (!parsed.success) {
		throw new InputError(`order: ${z.prettifyError(parsed.error)}`);
	}

	return {...parsed.data, epoch: parsed.data.epoch ?? epoch};
}
