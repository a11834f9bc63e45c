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
 * A value of a JSON text, as plain maps, lists, strings, numbers and flags; null where there is none. The library is
 * Jackson's reader of tokens: its binding to objects costs a start nearly as much as the Java runtime.
 */
public record Json(Object value) {
    private static final JsonFactory FACTORY = new JsonFactory();

    /** Reads one text that holds one value; what can't be read is an {@link IOException}. */
    public static Json read(String text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.nextToken();
            Object value = value(parser);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "something stands behind the value");
            }
            return new Json(value);
        }
    }

    /** Told what a text's outermost object holds, piece by piece, so that the whole need never be in memory. */
    public interface Handler {
        /** A field whose value is no array. */
        void field(String name, Json value);

        /** A field whose value is an array; its entries follow. */
        void array(String name);

        /** The next entry of the array. */
        void entry(Json entry);
    }

    /**
     * Reads one text that holds one object and tells of it as it comes; false where the text holds another value. What
     * can't be read is an {@link IOException}, at times after much has been told.
     */
    public static boolean read(Reader text, Handler told) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            boolean isObject = parser.nextToken() == JsonToken.START_OBJECT;
            while (isObject && parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                if (parser.nextToken() != JsonToken.START_ARRAY) {
                    told.field(name, new Json(value(parser)));
                    continue;
                }
                told.array(name);
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    told.entry(new Json(value(parser)));
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

    /** The value that begins with the present token; the library bounds how deep it may go. */
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

    /** A field, with no value where this is no object or lacks it. */
    public Json field(String name) {
        return new Json(fields().get(name));
    }

    /** A field that has to be there. */
    public Json required(String name) {
        Json field = field(name);
        if (field.value == null) {
            throw new IllegalArgumentException("the JSON text lacks " + name);
        }
        return field;
    }

    /** The fields of an object, none of anything else. */
    public Map<?, ?> fields() {
        return value instanceof Map<?, ?> fields ? fields : Map.of();
    }

    /** The entries of an array, none of anything else. */
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

    /** The value as text, empty where there is none. */
    public String text() {
        return value == null ? "" : value.toString();
    }

    /** The value as a number, or what is given where it is none. */
    public Number number(Number absent) {
        return value instanceof Number number ? number : absent;
    }
}
