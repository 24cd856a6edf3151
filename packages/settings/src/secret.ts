import {inspect} from 'node:util';

const HIDDEN = '(hidden)';

/** A key that no log, error or JSON text shows. Only `reveal` gives its value. */
export class Secret {
	static create(value: string): Secret {
		return new Secret(value);
	}

	readonly #value: string;

	private constructor(value: string) {
		this.#value = value;
	}

	/** The key itself, for the one place that uses it. */
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
