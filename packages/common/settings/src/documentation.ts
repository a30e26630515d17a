/** Generates the table of docs/settings.md. */
import {settingsTable} from './schema.js';
import type {SettingRow} from './schema.js';

const formatDefault = ({meta}: SettingRow): string => {
	if (meta.defaultText !== undefined) {
		return `\`${meta.defaultText}\``;
	}

	return meta.optional ? 'none' : 'required';
};

export const formatSettingsTable = (): string => [
	'| section | key | expected | default | meaning |',
	'| --- | --- | --- | --- | --- |',
	...settingsTable.map(row => `| \`[${row.section}]\` | \`${row.key}\` | ${row.meta.expected} | ${formatDefault(row)} | ${row.meta.description} |`),
].join('\n');
