/** Public API: model, reader and formatter of the settings. */
export {
	logLevels,
	settingsDefaults,
	type Backend,
	type CommonSettings,
	type EndpointSettings,
	type EntrySettings,
	type KeySource,
	type LogLevel,
	type Settings,
} from './model.js';
export {Secret} from './secret.js';
export {maxSettingsBytes, readSettings} from './read.js';
export {formatAddress, formatSettings} from './format.js';
export {resolveKey, resolveKeys, type Keys} from './resolve-keys.js';
export {minKeyBytes} from './values.js';
