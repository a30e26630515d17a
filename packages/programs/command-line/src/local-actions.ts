/** Implementation of the commands that need no entry instance. */
import {createTeamKey} from '@turmericbay/document';
import type {TeamKey} from '@turmericbay/document';
import {formatSettingsErrors, loadSettings} from '@turmericbay/settings';
import {ExitCode, fail, succeed} from './outcome.js';
import type {CommandOutcome} from './outcome.js';

/** The secret of the key appears only in this outcome; it is stored nowhere. */
export const createKey = ({create = createTeamKey}: {readonly create?: () => TeamKey} = {}): CommandOutcome => {
	const {presentedKey, declaration} = create();
	return succeed({
		text: [
			'key (shown only once; give it to the team):',
			presentedKey,
			'declaration (add it to the keys of the team in the document):',
			JSON.stringify(declaration),
		].join('\n'),
		data: {key: presentedKey, declaration},
	});
};

export const checkSettings = ({text, fileName}: {readonly text: string; readonly fileName: string}): CommandOutcome => loadSettings({text, fileName}).match(
	(): CommandOutcome => succeed({text: `${fileName}: no faults`, data: {fileName, faults: []}}),
	faults => fail({
		exitCode: ExitCode.InvalidSettings,
		code: 'BAD_SETTINGS',
		message: `the settings have ${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}\n${formatSettingsErrors(faults)}`,
		next: 'correct the file and check it again; docs/settings.md lists all settings',
		data: {faults},
	}),
);
