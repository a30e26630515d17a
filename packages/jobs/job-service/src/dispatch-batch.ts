/** Collects entries and hands them over together after a short time. */
import {batchMilliseconds} from './dispatch-protocol.js';

export const createBatch = <Entry>(onFull: () => void) => {
	let entries: Entry[] = [];
	let timer: NodeJS.Timeout | undefined;
	return {
		add(entry: Entry): void {
			entries.push(entry);
			timer ??= setTimeout(onFull, batchMilliseconds);
		},
		/** Returns the entries and starts the next batch. */
		take(): Entry[] {
			clearTimeout(timer);
			timer = undefined;
			const taken = entries;
			entries = [];
			return taken;
		},
	};
};
