/** Runs the operators' command line as a process of its own. */
import {execFile} from 'node:child_process';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {operatorToken} from './entry-settings.js';

const commandLineProgram = fileURLToPath(new URL('../../../../programs/command-line/dist/src/main.js', import.meta.url));

/** Output of the command; rejects with its error output if it fails. */
export const runOperatorCommand = async (options: {readonly operationsUrl: string; readonly words: readonly string[]}): Promise<string> => new Promise((resolve, reject) => {
	// eslint-disable-next-line @typescript-eslint/naming-convention -- Environment variables.
	const environment = {...process.env, TURMERICBAY_SERVER: options.operationsUrl, TURMERICBAY_TOKEN: operatorToken};
	execFile(process.execPath, [commandLineProgram, ...options.words], {env: environment}, (error, output, errorOutput) => {
		if (error) {
			reject(new Error(`turmericbay ${options.words.join(' ')} failed: ${errorOutput}`));
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
	return runOperatorCommand({operationsUrl: options.operationsUrl, words: ['document', 'submit', file, '--reviewed', '0', '--author', 'demo']});
};
