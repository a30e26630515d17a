export {formatSettingsTable} from './documentation.js';
export {formatSettingsFaults, loadSettings} from './load.js';
export {settingsTable} from './schema.js';
export {formatNetworkAddress, parseNetworkAddress} from './values.js';
export type {SettingsFault} from './load.js';
export type {SettingRow, Settings} from './schema.js';
export type {NetworkAddress, PeerMember, SettingMeta} from './values.js';
