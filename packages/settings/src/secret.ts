import {inspect} from 'node:util';

const HIDDEN = '(hidden)';

/** A key that is never shown in logs, errors or JSON. Only `reveal` returns its value. */
export class Secret {
	static create(value: string): Secret {
		return new Secret(value);
	}

	readonly #value: string;

	private constructor(value: string) {
		this.#value = value;
	}

	/** Returns the key itself; call this only where the key is used. */
	reveal(): string {
		return this.#value;
	}

	toString(): string {
		return HIDDEN;
	}

	toJSON(): string {
		return HIDDEN;
	}

	[inspect.custom](): string {
		return HIDDEN;
	}
}
