package tinworks.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A parsed JSON value: maps, lists, strings, numbers, booleans, or null if there is none. Uses only Jackson's streaming
 * parser: its data binding costs nearly as much start-up time as the Java runtime.
 */
public record Json(Object value) {
    private static final JsonFactory FACTORY = new JsonFactory();

    /** Parses a text that holds exactly one value; malformed text throws an {@link IOException}. */
    public static Json read(String text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.nextToken();
            Object value = value(parser);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "unexpected content after the value");
            }
            return new Json(value);
        }
    }

    /** Receives the members of the outermost object one at a time, so that the text need not be in memory at once. */
    public interface Handler {
        /** Called for a field whose value is not an array. */
        void field(String name, Json value);

        /** Called at the start of a field whose value is an array; its entries follow. */
        void array(String name);

        /** Called for each entry of the current array. */
        void entry(Json entry);
    }

    /**
     * Parses a text that holds exactly one object and passes its members to the handler; returns false if the text
     * holds another value. Malformed text throws an {@link IOException}, possibly after calls to the handler.
     */
    public static boolean read(Reader text, Handler handler) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            boolean isObject = parser.nextToken() == JsonToken.START_OBJECT;
            while (isObject && parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                if (parser.nextToken() != JsonToken.START_ARRAY) {
                    handler.field(name, new Json(value(parser)));
                    continue;
                }
                handler.array(name);
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    handler.entry(new Json(value(parser)));
                }
            }
            if (!isObject) {
                value(parser);
            }
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "something stands behind the value");
            }
            return isObject;
        }
    }

    /** Parses the value that begins at the current token; the library limits the nesting depth. */
    private static Object value(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            Map<String, Object> fields = new LinkedHashMap<>();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                fields.put(name, value(parser));
            }
            return fields;
        } else if (token == JsonToken.START_ARRAY) {
            List<Object> entries = new ArrayList<>();
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                entries.add(value(parser));
            }
            return entries;
        } else if (token == JsonToken.VALUE_STRING) {
            return parser.getText();
        } else if (token == JsonToken.VALUE_NUMBER_INT || token == JsonToken.VALUE_NUMBER_FLOAT) {
            return parser.getNumberValue();
        } else if (token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE) {
            return token == JsonToken.VALUE_TRUE;
        } else if (token == JsonToken.VALUE_NULL) {
            return null;
        }
        throw new JsonParseException(parser, "no value, but " + token);
    }

    /** A field of an object; its value is null if this is not an object or lacks the field. */
    public Json field(String name) {
        return new Json(fields().get(name));
    }

    /** A field that must be present; throws an {@link IllegalArgumentException} otherwise. */
    public Json required(String name) {
        Json field = field(name);
        if (field.value == null) {
            throw new IllegalArgumentException("JSON object lacks the field " + name);
        }
        return field;
    }

    /** The fields of an object, empty for any other value. */
    public Map<?, ?> fields() {
        return value instanceof Map<?, ?> fields ? fields : Map.of();
    }

    /** The entries of an array, empty for any other value. */
    public List<Json> entries() {
        if (!(value instanceof List<?> list)) {
            return List.of();
        }
        List<Json> entries = new ArrayList<>(list.size());
        for (Object entry : list) {
            entries.add(new Json(entry));
        }
        return entries;
    }

    /** Whether the value is an object. */
    public boolean isObject() {
        return value instanceof Map;
    }

    /** Whether the value is an array. */
    public boolean isArray() {
        return value instanceof List;
    }

    /** Whether the value is a string. */
    public boolean isText() {
        return value instanceof String;
    }

    /** Whether the value is the literal true. */
    public boolean isTrue() {
        return Boolean.TRUE.equals(value);
    }

    /** The value as a string, empty if there is none. */
    public String text() {
        return value == null ? "" : value.toString();
    }

    /** The value as a number, or the default if it is not a number. */
    public Number number(Number defaultValue) {
        return value instanceof Number number ? number : defaultValue;
    }
}
