/** Statuses of complete HTTP responses. */

/** Range of the statuses of complete responses; Node's parser accepts any three digits. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** Whether a status is that of a complete response. One with any other status says nothing about its request. */
export function isFinalStatus(status: number): boolean {
	return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}
