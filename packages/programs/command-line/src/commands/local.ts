import {Args} from '@oclif/core';
import {BaseCommand} from '../base-command.js';
import {checkSettings, createKey} from '../local-actions.js';

export class KeyCreate extends BaseCommand {
	public static override summary = 'Creates a team key and the declaration for the document.';

	public async run(): Promise<unknown> {
		await this.parse(KeyCreate);
		return this.printOutcome(createKey());
	}
}

export class SettingsCheck extends BaseCommand {
	public static override summary = 'Checks a settings file of the daemon and lists every fault.';
	public static override args = {
		file: Args.string({description: 'settings file (INI); - for standard input', required: true}),
	};

	public async run(): Promise<unknown> {
		const {args} = await this.parse(SettingsCheck);
		return this.printOutcome(checkSettings({text: await this.readText(args.file), fileName: args.file}));
	}
}
