/** Model names with optional version and adapter: `NAME[@VERSION][+ADAPTER]`. */

type ModelName = {readonly name: string; readonly version: string | undefined; readonly adapter: string | undefined};

const servicePrefix = 'service:';

function parseModelName(text: string): ModelName {
	const plus = text.indexOf('+');
	const base = plus === -1 ? text : text.slice(0, plus);
	const adapter = plus === -1 ? undefined : text.slice(plus + 1);
	const at = base.lastIndexOf('@');
	return at === -1
		? {name: base, version: undefined, adapter}
		: {name: base.slice(0, at), version: base.slice(at + 1), adapter};
}

/** Whether the name denotes a plain service, `service:NAME`. */
export function isService(model: string): boolean {
	return model.startsWith(servicePrefix);
}

/**
 * Whether a replica that offers `offered` can serve a request for `wanted`.
 * Name and adapter must be equal; a request without a version matches any version.
 */
export function servesModel(offered: string, wanted: string): boolean {
	if (offered === wanted) {
		return true;
	}

	if (isService(offered) || isService(wanted)) {
		return false;
	}

	const offeredName = parseModelName(offered);
	const wantedName = parseModelName(wanted);
	return offeredName.name === wantedName.name
		&& offeredName.adapter === wantedName.adapter
		&& (wantedName.version === undefined || wantedName.version === offeredName.version);
}
