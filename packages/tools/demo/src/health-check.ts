/** Health and readiness checks as the platform's balancer makes them. */
import {request} from 'undici';

const timeoutMilliseconds = 500;

/** True if the address answers 200 in time. */
export const answersOk = async (url: string): Promise<boolean> => {
	try {
		const response = await request(url, {signal: AbortSignal.timeout(timeoutMilliseconds)});
		await response.body.dump();
		return response.statusCode === 200;
	} catch {
		return false;
	}
};
