/** Shared by the programs of the fakes: the ready line and the shutdown on a signal. */
import process from 'node:process';

export type ReadyLine = {
	readonly port: number;
	readonly controlPort: number;
	readonly processId: number;
};

/** Prints the ready line as JSON and closes on SIGTERM or SIGINT. */
export const runProgram = (options: {readonly ready: ReadyLine; readonly close: () => Promise<void>}): void => {
	const stop = (): void => {
		void options.close();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
	process.stdout.write(`${JSON.stringify(options.ready)}\n`);
};
