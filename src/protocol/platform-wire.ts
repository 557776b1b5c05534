import { Type } from '@sinclair/typebox';
import { ListedShape } from '../state/listed.js';
import { readerOf } from './read-shape.js';

export const readWorkerList = readerOf(Type.Object({ workers: Type.Array(ListedShape) }));
export const WORKERS_PATH = '/v1/workers';
