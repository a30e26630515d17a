/** Validation errors of a document, called faults, each with its path. */
import type {z} from 'zod';

export type DocumentFault = {
	/** Path in the document, such as `queues.invoices.pool`; empty for the whole document. */
	readonly path: string;
	readonly message: string;
};

const formatPath = (path: readonly PropertyKey[]): string => path.map(String).join('.');

/** Converts zod issues to faults, one per invalid field. */
export const toFaults = (error: z.ZodError): readonly DocumentFault[] => error.issues.flatMap(issue => {
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({path: formatPath([...issue.path, key]), message: 'no such field'}));
	}

	const message = issue.code === 'invalid_key' ? issue.issues.map(inner => inner.message).join('; ') : issue.message;
	return [{path: formatPath(issue.path), message}];
});
