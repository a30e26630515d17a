import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {Args, Flags} from '@oclif/core';
import {BaseCommand, connectionFlags} from '../base-command.js';
import {
	listHistory, reviewDocument, showDocument, submitDocument, withdrawDocument,
} from '../document-actions.js';

const changeFlags = {
	...connectionFlags,
	reviewed: Flags.integer({description: 'version that the change was reviewed against; 0 if there is none', required: true, min: 0}),
	'change-id': Flags.string({description: 'identifier of an earlier change whose outcome is unknown; repeats that change'}),
	author: Flags.string({description: 'author of the change; the account name by default'}),
};

const fileArguments = {
	file: Args.string({description: 'document as JSON; - for standard input', required: true}),
};

const toChange = (flags: {readonly reviewed: number; readonly 'change-id': string | undefined; readonly author: string | undefined}) => ({
	reviewedVersion: flags.reviewed,
	changeId: flags['change-id'] ?? randomUUID(),
	author: flags.author ?? userInfo().username,
	isRepeated: flags['change-id'] !== undefined,
});

export class DocumentSubmit extends BaseCommand {
	public static override summary = 'Puts a document into force.';
	public static override args = fileArguments;
	public static override flags = changeFlags;

	public async run(): Promise<unknown> {
		const {args, flags} = await this.parse(DocumentSubmit);
		const documentJson = await this.readText(args.file);
		const change = toChange(flags);
		this.logToStderr(`change identifier ${change.changeId}`);
		return this.printOutcome(await submitDocument(this.createClient(flags), {...change, documentJson}));
	}
}

export class DocumentWithdraw extends BaseCommand {
	public static override summary = 'Restores the content of the version before the reviewed one as a new version.';
	public static override flags = changeFlags;

	public async run(): Promise<unknown> {
		const {flags} = await this.parse(DocumentWithdraw);
		const change = toChange(flags);
		this.logToStderr(`change identifier ${change.changeId}`);
		return this.printOutcome(await withdrawDocument(this.createClient(flags), change));
	}
}

export class DocumentReview extends BaseCommand {
	public static override summary = 'Shows the changes that a document would make and warns of likely mistakes.';
	public static override args = fileArguments;
	public static override flags = connectionFlags;

	public async run(): Promise<unknown> {
		const {args, flags} = await this.parse(DocumentReview);
		const documentJson = await this.readText(args.file);
		return this.printOutcome(await reviewDocument(this.createClient(flags), {documentJson}));
	}
}

export class DocumentShow extends BaseCommand {
	public static override summary = 'Prints the document in force or an older version; with --json the whole envelope.';
	public static override flags = {
		...connectionFlags,
		version: Flags.integer({description: 'older version to print', min: 1}),
	};

	public async run(): Promise<unknown> {
		const {flags} = await this.parse(DocumentShow);
		return this.printOutcome(await showDocument(this.createClient(flags), {version: flags.version ?? 0}));
	}
}

export class DocumentHistory extends BaseCommand {
	public static override summary = 'Lists the stored versions, oldest first.';
	public static override flags = connectionFlags;

	public async run(): Promise<unknown> {
		const {flags} = await this.parse(DocumentHistory);
		return this.printOutcome(await listHistory(this.createClient(flags)));
	}
}
