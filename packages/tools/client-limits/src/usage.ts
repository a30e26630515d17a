/** Memory and descriptors of a process, read from the proc file system. */
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';

export type Usage = {
	/** Peak of the resident memory since the start of the process. */
	readonly peakResidentKilobytes: number;
	readonly descriptors: number;
	/** Descriptors that are sockets or pipes. */
	readonly sockets: number;
};

const readTarget = (link: string): string => {
	try {
		return readlinkSync(link);
	} catch {
		// The descriptor has been closed since the folder was listed.
		return '';
	}
};

/** Returns undefined if the process has ended. */
export const readUsage = (processId: number): Usage | undefined => {
	try {
		const folder = `/proc/${processId}/fd`;
		const targets = readdirSync(folder).map(name => readTarget(`${folder}/${name}`)).filter(target => target !== '');
		const peak = /^VmHWM:\s+(?<kilobytes>\d+) kB$/mv.exec(readFileSync(`/proc/${processId}/status`, 'utf8'))?.groups?.kilobytes;
		return peak === undefined
			? undefined
			: {peakResidentKilobytes: Number(peak), descriptors: targets.length, sockets: targets.filter(target => /^(?:socket|pipe):/v.test(target)).length};
	} catch {
		return undefined;
	}
};
