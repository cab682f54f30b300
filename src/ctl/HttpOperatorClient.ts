import { ResultAsync } from 'neverthrow';
import { request } from 'undici';
import type TimerService from '../core/TimerService';
import type OperatorAnswer from './OperatorAnswer';
import type OperatorClient from './OperatorClient';

/** Sends requests to operators' listeners over HTTP. */
export default class HttpOperatorClient implements OperatorClient {
  private constructor(private readonly timer: TimerService) {}

  static create(timer: TimerService): HttpOperatorClient {
    return new HttpOperatorClient(timer);
  }

  request(
    method: 'GET' | 'POST',
    address: string,
    path: string,
  ): ResultAsync<OperatorAnswer, string> {
    const sent = this.send(method, `http://${address}${path}`);
    return ResultAsync.fromPromise(sent, (cause) =>
      cause instanceof Error ? cause.message : String(cause),
    );
  }

  private async send(method: 'GET' | 'POST', url: string): Promise<OperatorAnswer> {
    const controller = new AbortController();
    const timeout = this.timer.after(ANSWER_TIMEOUT_MS, () =>
      controller.abort(new Error(`no answer within ${ANSWER_TIMEOUT_MS} ms`)),
    );
    try {
      const { statusCode, body } = await request(url, { method, signal: controller.signal });
      return { status: statusCode, body: JSON.parse(await body.text()) };
    } finally {
      timeout.cancel();
    }
  }
}

const ANSWER_TIMEOUT_MS = 4000;
