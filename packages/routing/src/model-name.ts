/** Names of models with version and adapter: `NAME[@VERSION][+ADAPTER]`. */

type ModelName = {readonly name: string; readonly version: string | undefined; readonly adapter: string | undefined};

const servicePrefix = 'service:';

function parse(text: string): ModelName {
	const plus = text.indexOf('+');
	const base = plus === -1 ? text : text.slice(0, plus);
	const adapter = plus === -1 ? undefined : text.slice(plus + 1);
	const at = base.lastIndexOf('@');
	return at === -1
		? {name: base, version: undefined, adapter}
		: {name: base.slice(0, at), version: base.slice(at + 1), adapter};
}

/** Whether the name is that of a plain service. */
export function isService(model: string): boolean {
	return model.startsWith(servicePrefix);
}

/**
 * Whether a replica that offers `offered` serves a request for `wanted`.
 * Name and adapter must be the same; a request without a version takes any version.
 */
export function servesModel(offered: string, wanted: string): boolean {
	if (offered === wanted) {
		return true;
	}

	if (isService(offered) || isService(wanted)) {
		return false;
	}

	const have = parse(offered);
	const want = parse(wanted);
	return have.name === want.name
		&& have.adapter === want.adapter
		&& (want.version === undefined || want.version === have.version);
}
