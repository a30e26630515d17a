/** Base class of the commands: shared flags, output, exit codes and error handling. */
import {readFile} from 'node:fs/promises';
import {text as readAll} from 'node:stream/consumers';
import process from 'node:process';
import {Command, Flags} from '@oclif/core';
import {createOperatorClient} from '@turmericbay/peer-protocol';
import type {OperatorServiceClient} from '@turmericbay/peer-protocol';
import {
	ExitCode, fail, formatFailure, toFailureData,
} from './outcome.js';
import type {CommandOutcome, Failure} from './outcome.js';

/** Longer than the slowest submit, whose calls and waits take up to 25 s. */
const timeoutMilliseconds = 30_000;

export const connectionFlags = {
	server: Flags.string({
		description: 'base address of the operations listener of any entry instance', env: 'TURMERICBAY_SERVER', required: true, helpGroup: 'CONNECTION',
	}),
	token: Flags.string({
		description: 'operators\' token', env: 'TURMERICBAY_TOKEN', required: true, helpGroup: 'CONNECTION',
	}),
};

/** Thrown by a command to pass a failure through oclif to `catch`. */
class CommandFailure extends Error {
	public constructor(public readonly failure: Failure) {
		super(failure.message);
	}
}

/**
 * Keeps only the message of an oclif error: its other properties contain the
 * values of all flags, including the token, which `--json` would print.
 */
const toFailure = (error: Error): Failure => {
	if (error instanceof CommandFailure) {
		return error.failure;
	}

	const oclifDetails: unknown = Reflect.get(error, 'oclif');
	const isUsageError = typeof oclifDetails === 'object' && oclifDetails !== null && Reflect.get(oclifDetails, 'exit') === ExitCode.Usage;
	const message = error.message.replace(/\nSee more help with --help$/v, '');
	return isUsageError
		? fail({
			exitCode: ExitCode.Usage, code: 'USAGE', message, next: 'see the flags of the command with --help',
		})
		: fail({
			exitCode: ExitCode.Internal, code: 'INTERNAL', message, next: 'this is a bug; report it together with the command that caused it',
		});
};

export abstract class BaseCommand extends Command {
	public static override enableJsonFlag = true;

	protected override async catch(error: Error): Promise<unknown> {
		const failure = toFailure(error);
		process.exitCode = failure.exitCode;
		if (this.jsonEnabled()) {
			this.logJson(toFailureData(failure));
		} else {
			this.logToStderr(formatFailure(failure));
		}

		return undefined;
	}

	/** Prints a success and returns its data for `--json`; throws a failure, which `catch` prints. */
	protected printOutcome(outcome: CommandOutcome): unknown {
		if (outcome.type === 'failure') {
			throw new CommandFailure(outcome);
		}

		this.log(outcome.text);
		if (outcome.note !== undefined) {
			this.logToStderr(outcome.note);
		}

		return outcome.data;
	}

	protected createClient({server, token}: {readonly server: string; readonly token: string}): OperatorServiceClient {
		if (!URL.canParse(server)) {
			throw new CommandFailure(fail({
				exitCode: ExitCode.Usage, code: 'BAD_SERVER', message: `${server} is not a valid URL`, next: 'pass a URL such as http://127.0.0.1:8081 with --server',
			}));
		}

		return createOperatorClient({baseUrl: server, token, timeoutMilliseconds});
	}

	/** Reads a file, or standard input for `-`. */
	protected async readText(fileName: string): Promise<string> {
		try {
			return fileName === '-' ? await readAll(process.stdin) : await readFile(fileName, 'utf8');
		} catch (error) {
			throw new CommandFailure(fail({
				exitCode: ExitCode.Usage,
				code: 'FILE_UNREADABLE',
				message: `the file cannot be read: ${error instanceof Error ? error.message : String(error)}`,
				next: 'pass the path of a readable file, or - for standard input',
			}));
		}
	}
}
