/** Public index of the settings. */
export {
	logLevels,
	settingsDefaults,
	type Address,
	type Backend,
	type CommonSettings,
	type EndpointSettings,
	type EntrySettings,
	type KeySource,
	type LogLevel,
	type Settings,
} from './model.js';
export {Secret} from './secret.js';
