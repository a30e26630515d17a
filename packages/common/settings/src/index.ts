export {formatSettingsTable} from './documentation.js';
export {formatSettingsErrors, loadSettings} from './load.js';
export {settingsTable} from './schema.js';
export {formatNetworkAddress, parseNetworkAddress} from './values.js';
export type {SettingsError} from './load.js';
export type {SettingRow, Settings} from './schema.js';
export type {NetworkAddress, PeerMember, SettingMeta} from './values.js';
