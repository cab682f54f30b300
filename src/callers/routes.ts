import { Action } from '../gen/magnoliakeel/v1/peer_pb';
import parseJob from './parseJob';
import parseJobQuery from './parseJobQuery';
import parseSingleRequest from './parseSingleRequest';
import type Route from './Route';

const JOB_PATH = /^\/v1\/services\/([^/]+)\/jobs\/([^/]+)$/;
const REQUEST_PATH = /^\/v1\/services\/([^/]+)\/requests$/;

/** All routes of the HTTP interface for callers. */
const routes: readonly Route[] = [
  { method: 'PUT', path: JOB_PATH, parse: parseJob },
  { method: 'GET', path: JOB_PATH, parse: parseJobQuery(Action.LOOKUP) },
  { method: 'DELETE', path: JOB_PATH, parse: parseJobQuery(Action.CANCEL) },
  { method: 'POST', path: REQUEST_PATH, parse: parseSingleRequest },
];

export default routes;
