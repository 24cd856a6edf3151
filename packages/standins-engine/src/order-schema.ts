/** Parses the body of `POST /v1/orders`. */
import {z} from 'zod';
import {InputError} from '#core';
import type {EngineOrder} from '#expertmap';

const nonNegativeInteger = z.int().nonnegative();
const commonFields = {version: nonNegativeInteger, epoch: nonNegativeInteger.optional(), fence: nonNegativeInteger};
const slots = z.array(z.array(z.array(nonNegativeInteger)));

const orderSchema = z.discriminatedUnion('order', [
	z.object({...commonFields, order: z.literal('prepare'), map: z.object({slots})}),
	z.object({...commonFields, order: z.enum(['gate', 'go', 'cancel']), step: nonNegativeInteger}),
	z.object({...commonFields, order: z.literal('drop')}),
	z.object({
		...commonFields, order: z.literal('reform'), step: nonNegativeInteger, members: z.array(z.string().min(1)).min(1),
	}),
]);

/**
 * Parses an order.
 *
 * @param epoch - Default epoch: that of the engine.
 * @throws InputError if the body is not a valid order.
 */
export function parseOrder(body: unknown, epoch: number): EngineOrder {
	const parsed = orderSchema.safeParse(body);
	if (!parsed.success) {
		throw new InputError(`order: ${z.prettifyError(parsed.error)}`);
	}

	return {...parsed.data, epoch: parsed.data.epoch ?? epoch};
}
