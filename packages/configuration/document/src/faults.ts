/** Faults of a document, each with its path. */
import type {z} from 'zod';

export type DocumentFault = {
	/** Path in the document, for instance `queues.invoices.pool`; empty for the whole. */
	readonly path: string;
	readonly message: string;
};

const formatPath = (path: readonly PropertyKey[]): string => path.map(String).join('.');

/** Turns the issues of the schema library into faults, one per field at fault. */
export const toFaults = (error: z.ZodError): readonly DocumentFault[] => error.issues.flatMap(issue => {
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({path: formatPath([...issue.path, key]), message: 'no such field'}));
	}

	const message = issue.code === 'invalid_key' ? issue.issues.map(inner => inner.message).join('; ') : issue.message;
	return [{path: formatPath(issue.path), message}];
});
