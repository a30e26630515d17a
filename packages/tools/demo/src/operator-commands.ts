/** Runs the operators' command line tool as a separate process. */
import {execFile} from 'node:child_process';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {operatorToken} from './entry-settings.js';

const commandLineProgram = fileURLToPath(new URL('../../../../programs/command-line/dist/src/main.js', import.meta.url));

/** Resolves with the standard output of the command; rejects with its standard error if it fails. */
export const runOperatorCommand = async (options: {readonly operationsUrl: string; readonly commandArguments: readonly string[]}): Promise<string> => new Promise((resolve, reject) => {
	// eslint-disable-next-line @typescript-eslint/naming-convention -- Environment variables.
	const environment = {...process.env, TURMERICBAY_SERVER: options.operationsUrl, TURMERICBAY_TOKEN: operatorToken};
	execFile(process.execPath, [commandLineProgram, ...options.commandArguments], {env: environment}, (error, output, errorOutput) => {
		if (error) {
			reject(new Error(`turmericbay ${options.commandArguments.join(' ')} failed: ${errorOutput}`));
		} else {
			resolve(output);
		}
	});
});

/** Submits a document as the first version. */
export const submitFirstDocument = async (options: {
	readonly operationsUrl: string;
	readonly folder: string;
	readonly document: unknown;
}): Promise<string> => {
	const file = path.join(options.folder, 'document.json');
	await writeFile(file, JSON.stringify(options.document));
	return runOperatorCommand({operationsUrl: options.operationsUrl, commandArguments: ['document', 'submit', file, '--reviewed', '0', '--author', 'demo']});
};
